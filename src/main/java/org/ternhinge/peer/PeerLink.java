package org.ternhinge.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.http.Channels;
import org.ternhinge.http.HttpServer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.http.SocketUsage;
import org.ternhinge.model.Endpoint;

/**
 * Connections to the other controllers, over which a node forwards requests to the leader. Delivery
 * is best-effort: a node that gets no response in time uses the key-value store instead.
 *
 * <p>Thread-safe; the state is confined to the event loop.
 */
public final class PeerLink {
  private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
  private static final int MAX_FRAME_BYTES = 256 * 1024;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;

  private final EventLoop loop;
  private final Map<String, Endpoint> peers;
  private final SocketUsage usage;
  private final Map<String, Channel> channelByNode = new HashMap<>();

  /** Requests that wait for the connection to a node, while one is being established. */
  private final Map<String, List<Frame.RequestFrame>> waitingByNode = new HashMap<>();

  private final Long2ObjectOpenHashMap<Consumer<Optional<Response>>> pendingById =
      new Long2ObjectOpenHashMap<>();
  private HttpServer.Handler handler;
  private long lastId;

  /**
   * Creates a link without connections.
   *
   * @param peers addresses of the other controllers by node name
   */
  public PeerLink(EventLoop loop, Map<String, Endpoint> peers) {
    this(loop, peers, new SocketUsage());
  }

  /**
   * Creates a link without connections.
   *
   * @param peers addresses of the other controllers by node name
   * @param usage counts the connections; used on the event loop
   */
  public PeerLink(EventLoop loop, Map<String, Endpoint> peers, SocketUsage usage) {
    this.loop = loop;
    this.peers = peers;
    this.usage = usage;
  }

  /**
   * Listens for requests of the other controllers.
   *
   * @return the listening channel
   */
  public Channel listen(Endpoint endpoint, HttpServer.Handler requestHandler)
      throws InterruptedException {
    handler = requestHandler;
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(initializer())
        .bind(endpoint.host(), endpoint.port())
        .sync()
        .channel();
  }

  private ChannelInitializer<SocketChannel> initializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        usage.track(channel, SocketUsage.Owner.PEERS);
        channel
            .pipeline()
            .addLast(
                new LengthFieldBasedFrameDecoder(
                    MAX_FRAME_BYTES, 0, Frame.LENGTH_BYTES, 0, Frame.LENGTH_BYTES))
            .addLast(new FrameHandler());
      }
    };
  }

  /**
   * Sends a request to another controller.
   *
   * @param timeoutS time limit of the call in seconds
   * @param callback called once, on the event loop, with the response, or empty if none arrived in
   *     time
   */
  public void send(
      String node, Request request, double timeoutS, Consumer<Optional<Response>> callback) {
    loop.execute(() -> sendOnLoop(node, request, timeoutS, callback));
  }

  private void sendOnLoop(
      String node, Request request, double timeoutS, Consumer<Optional<Response>> callback) {
    Frame.RequestFrame frame = new Frame.RequestFrame(++lastId, request);
    pendingById.put(frame.id(), callback);
    var unused = Channels.schedule(loop, timeoutS, () -> complete(frame.id(), Optional.empty()));
    Channel open = channelByNode.get(node);
    Endpoint endpoint = peers.get(node);
    List<Frame.RequestFrame> waiting = waitingByNode.get(node);
    if (waiting != null) {
      waiting.add(frame);
    } else if (open != null && open.isActive()) {
      write(open, frame);
    } else if (endpoint == null) {
      complete(frame.id(), Optional.empty());
    } else {
      waitingByNode.put(node, new ArrayList<>(List.of(frame)));
      connect(node, endpoint);
    }
  }

  private void connect(String node, Endpoint endpoint) {
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(initializer())
        .connect(endpoint.host(), endpoint.port())
        .addListener((ChannelFuture connectFuture) -> onConnected(node, connectFuture));
  }

  private void onConnected(String node, ChannelFuture connectFuture) {
    List<Frame.RequestFrame> waiting = waitingByNode.remove(node);
    if (!connectFuture.isSuccess()) {
      waiting.forEach(frame -> complete(frame.id(), Optional.empty()));
      return;
    }
    Channel channel = connectFuture.channel();
    channelByNode.put(node, channel);
    Channels.onClose(channel, () -> channelByNode.remove(node, channel));
    waiting.stream()
        .filter(frame -> pendingById.containsKey(frame.id()))
        .forEach(frame -> write(channel, frame));
  }

  /** Completes a request unless it has already completed. */
  private void complete(long id, Optional<Response> response) {
    Consumer<Optional<Response>> callback = pendingById.remove(id);
    if (callback != null) {
      callback.accept(response);
    }
  }

  /** Closes the connection to a node that did not answer; the next request opens a new one. */
  public void closeConnection(String node) {
    loop.execute(
        () -> {
          Channel channel = channelByNode.remove(node);
          if (channel != null) {
            Channels.close(channel);
          }
        });
  }

  private static void write(Channel channel, Frame frame) {
    Channels.write(channel, Unpooled.wrappedBuffer(frame.encode()));
  }

  /** Handles the frames of an inbound or outbound connection. */
  private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
      Frame frame = Frame.decode(in.nioBuffer());
      if (frame instanceof Frame.ResponseFrame responseFrame) {
        complete(responseFrame.id(), Optional.of(responseFrame.response()));
      } else if (frame instanceof Frame.RequestFrame requestFrame) {
        handler.handle(
            requestFrame.request(), response -> respond(ctx, requestFrame.id(), response));
      }
    }

    private void respond(ChannelHandlerContext ctx, long id, Response response) {
      loop.execute(() -> write(ctx.channel(), new Frame.ResponseFrame(id, response)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("closing controller connection: {}", cause.toString());
      Channels.close(ctx);
    }
  }
}
