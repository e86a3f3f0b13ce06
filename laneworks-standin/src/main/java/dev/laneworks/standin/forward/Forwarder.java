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
 * TCP forwarder that can stall its connections in one direction, close them and refuse
 * new ones, to simulate network faults in tests.
 * <p>
 * Data of a stalled direction is sent when the direction is released. Thread-safe.
 *
 * @since 0.1
 */
public final class Forwarder implements AutoCloseable {

	private static final int BUFFER_BYTES = 8192;

	private final ServerSocket server;

	private final InetSocketAddress destination;

	private final List<Socket> sockets = new ArrayList<>();

	private boolean stallForward;

	private boolean stallBackward;

	private boolean refuseConnections;

	/**
	 * Create a forwarder on a free port of the loopback interface.
	 * @param destination the address that connections are forwarded to
	 */
	public Forwarder(InetSocketAddress destination) {
		this(0, destination);
	}

	/**
	 * Create a forwarder on the loopback interface.
	 * @param port the port to listen on, or 0 for a free port
	 * @param destination the address that connections are forwarded to
	 */
	public Forwarder(int port, InetSocketAddress destination) {
		this.destination = destination;
		try {
			this.server = new ServerSocket(port, 128, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot listen on the loopback interface", ex);
		}
		startDaemon(this::acceptConnections);
	}

	/**
	 * Return the port that the forwarder listens on.
	 * @return the TCP port on the loopback interface
	 */
	public int port() {
		return this.server.getLocalPort();
	}

	/**
	 * Stall or release the data that clients send.
	 * @param stall {@code true} to stall it, {@code false} to release it
	 */
	public synchronized void stallForward(boolean stall) {
		this.stallForward = stall;
		notifyAll();
	}

	/**
	 * Stall or release the data that clients receive.
	 * @param stall {@code true} to stall it, {@code false} to release it
	 */
	public synchronized void stallBackward(boolean stall) {
		this.stallBackward = stall;
		notifyAll();
	}

	/**
	 * Close all connections, and refuse or accept new ones.
	 * @param refuseNew {@code true} to refuse new connections
	 */
	public void closeConnections(boolean refuseNew) {
		List<Socket> openSockets;
		synchronized (this) {
			this.refuseConnections = refuseNew;
			openSockets = new ArrayList<>(this.sockets);
			this.sockets.clear();
		}
		openSockets.forEach(Forwarder::closeQuietly);
	}

	@Override
	public void close() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			// Nothing is left to close.
		}
		closeConnections(true);
	}

	private void acceptConnections() {
		while (!this.server.isClosed()) {
			try {
				forward(this.server.accept());
			}
			catch (IOException ex) {
				// The forwarder was closed, or the connection broke before it was
				// accepted.
			}
		}
	}

	private void forward(Socket client) throws IOException {
		synchronized (this) {
			if (this.refuseConnections) {
				closeQuietly(client);
				return;
			}
		}
		Socket upstream = new Socket();
		try {
			upstream.connect(this.destination);
		}
		catch (IOException ex) {
			closeQuietly(client);
			return;
		}
		client.setTcpNoDelay(true);
		upstream.setTcpNoDelay(true);
		synchronized (this) {
			this.sockets.add(client);
			this.sockets.add(upstream);
		}
		startDaemon(() -> copy(client, upstream, true));
		startDaemon(() -> copy(upstream, client, false));
	}

	private void copy(Socket source, Socket sink, boolean forward) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try (InputStream in = source.getInputStream(); OutputStream out = sink.getOutputStream()) {
			int count = in.read(buffer);
			while (count >= 0) {
				awaitNotStalled(forward);
				out.write(buffer, 0, count);
				count = in.read(buffer);
			}
		}
		catch (IOException ex) {
			// One side closed the connection, or closeConnections was called.
		}
		closeQuietly(source);
		closeQuietly(sink);
	}

	private synchronized void awaitNotStalled(boolean forward) throws IOException {
		while (forward ? this.stallForward : this.stallBackward) {
			try {
				wait();
			}
			catch (InterruptedException ex) {
				throw new IOException("interrupted", ex);
			}
		}
	}

	private static void startDaemon(Runnable task) {
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
