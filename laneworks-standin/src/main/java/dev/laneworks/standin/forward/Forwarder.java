package dev.laneworks.standin.forward;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Forwards TCP connections to another address, and can cut them wholly or in one
 * direction.
 * <p>
 * A cut direction loses nothing at once: bytes wait in the forwarder, as they would
 * behind a stalled link. Thread-safe.
 *
 * @since 0.1
 */
public final class Forwarder implements AutoCloseable {

	private static final int BUFFER_BYTES = 8192;

	private final ServerSocket server;

	private final InetSocketAddress to;

	private final List<Socket> sockets = new ArrayList<>();

	private boolean cutForward;

	private boolean cutBackward;

	private boolean refusing;

	/**
	 * Create a forwarder on a free port of the loopback interface.
	 * @param to where connections go
	 */
	public Forwarder(InetSocketAddress to) {
		this(0, to);
	}

	/**
	 * Create a forwarder on the loopback interface.
	 * @param port where to listen, or 0 for a free port
	 * @param to where connections go
	 */
	public Forwarder(int port, InetSocketAddress to) {
		this.to = to;
		try {
			this.server = new ServerSocket(port, 128, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("can't listen", ex);
		}
		daemon(this::acceptAll);
	}

	/**
	 * Return the port that the forwarder listens on.
	 * @return the port
	 */
	public int port() {
		return this.server.getLocalPort();
	}

	/**
	 * Stall or release the bytes from those who connected.
	 * @param cut whether to stall them
	 */
	public synchronized void cutForward(boolean cut) {
		this.cutForward = cut;
		notifyAll();
	}

	/**
	 * Stall or release the bytes towards those who connected.
	 * @param cut whether to stall them
	 */
	public synchronized void cutBackward(boolean cut) {
		this.cutBackward = cut;
		notifyAll();
	}

	/**
	 * Close all connections, and refuse new ones or take them again.
	 * @param refuse whether new ones are refused
	 */
	public void breakAll(boolean refuse) {
		List<Socket> open;
		synchronized (this) {
			this.refusing = refuse;
			open = new ArrayList<>(this.sockets);
			this.sockets.clear();
		}
		open.forEach(Forwarder::closeQuietly);
	}

	@Override
	public void close() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			// Nothing is left to close.
		}
		breakAll(true);
	}

	private void acceptAll() {
		while (!this.server.isClosed()) {
			try {
				forward(this.server.accept());
			}
			catch (IOException ex) {
				// The server was closed, or the connection broke before it was taken.
			}
		}
	}

	private void forward(Socket from) throws IOException {
		synchronized (this) {
			if (this.refusing) {
				closeQuietly(from);
				return;
			}
		}
		Socket onward = new Socket();
		try {
			onward.connect(this.to);
		}
		catch (IOException ex) {
			closeQuietly(from);
			return;
		}
		from.setTcpNoDelay(true);
		onward.setTcpNoDelay(true);
		synchronized (this) {
			this.sockets.add(from);
			this.sockets.add(onward);
		}
		daemon(() -> copy(from, onward, true));
		daemon(() -> copy(onward, from, false));
	}

	private void copy(Socket from, Socket onward, boolean forward) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try (InputStream in = from.getInputStream(); OutputStream out = onward.getOutputStream()) {
			int count = in.read(buffer);
			while (count >= 0) {
				awaitRelease(forward);
				out.write(buffer, 0, count);
				count = in.read(buffer);
			}
		}
		catch (IOException ex) {
			// Either side closed, or the connection was cut.
		}
		closeQuietly(from);
		closeQuietly(onward);
	}

	private synchronized void awaitRelease(boolean forward) throws IOException {
		while (forward ? this.cutForward : this.cutBackward) {
			try {
				wait();
			}
			catch (InterruptedException ex) {
				throw new IOException("interrupted", ex);
			}
		}
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task, "forwarder");
		thread.setDaemon(true);
		thread.start();
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// Nothing is left to close.
		}
	}

}
