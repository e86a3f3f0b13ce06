package dev.laneworks.runtime.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;

import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.Option;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Opens connections on the I/O threads of a worker and applies a
 * {@link ResponseByteLimit} and a {@link ResponseFramingConduit} to each, before the HTTP
 * client reads from it.
 * <p>
 * The HTTP client offers no other access to its connections. Never started as a thread.
 */
final class LimitingIoThread extends XnioIoThread {

	/** The limit of a connection. */
	static final Option<ResponseByteLimit> LIMIT = Option.simple(LimitingIoThread.class, "LIMIT",
			ResponseByteLimit.class);

	LimitingIoThread(XnioWorker worker) {
		super(worker, 0);
	}

	@Override
	public IoFuture<StreamConnection> openStreamConnection(SocketAddress destination,
			ChannelListener<? super StreamConnection> openListener, OptionMap options) {
		ResponseByteLimit limit = options.get(LIMIT);
		return getWorker().openStreamConnection(destination, (c) -> {
			c.getSourceChannel()
				.setConduit(new ResponseFramingConduit(limit.apply(c.getSourceChannel().getConduit()),
						limit::recordProgress));
			openListener.handleEvent(c);
		}, options);
	}

	@Override
	public void execute(Runnable command) {
		getWorker().getIoThread().execute(command);
	}

	@Override
	public Key executeAfter(Runnable command, long time, TimeUnit unit) {
		return getWorker().getIoThread().executeAfter(command, time, unit);
	}

	@Override
	public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
		return getWorker().getIoThread().executeAtInterval(command, time, unit);
	}

}
