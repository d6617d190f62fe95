package org.ternhinge.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.http.Channels;
import org.ternhinge.http.HttpServer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.Endpoint;

/**
 * The framed link between controllers: a node hands users' requests to the leader over it. Nothing
 * rests on its delivery; whoever hears nothing in time goes to the key-value store instead.
 */
public final class PeerLink {
  private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
  private static final int MAX_FRAME = 256 * 1024;

  private final EventLoop loop;
  private final Map<String, Endpoint> peers;
  private final Map<String, Channel> channels = new HashMap<>();
  private final Long2ObjectOpenHashMap<Consumer<Response>> waiting = new Long2ObjectOpenHashMap<>();
  private HttpServer.Handler handler;
  private long lastId;

  /** Creates a link to the given controllers, by their names. */
  public PeerLink(EventLoop loop, Map<String, Endpoint> peers) {
    this.loop = loop;
    this.peers = peers;
  }

  /** Listens for the other nodes' requests. */
  public Channel listen(Endpoint endpoint, HttpServer.Handler to) throws InterruptedException {
    handler = to;
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
      protected void initChannel(SocketChannel ch) {
        ch.pipeline()
            .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME, 0, 4, 0, 4))
            .addLast(new Frames());
      }
    };
  }

  /**
   * Hands a request to another node.
   *
   * @param answer gets the response, or null when none came in time
   */
  public void ask(String node, Request request, double timeoutS, Consumer<Response> answer) {
    loop.execute(() -> askNow(node, request, timeoutS, answer));
  }

  private void askNow(String node, Request request, double timeoutS, Consumer<Response> answer) {
    long id = ++lastId;
    waiting.put(id, answer);
    var unused = Channels.schedule(loop, timeoutS, () -> settle(id, null));
    Channel known = channels.get(node);
    if (known != null && known.isActive()) {
      write(known, Frame.request(id, request));
      return;
    }
    Endpoint endpoint = peers.get(node);
    if (endpoint == null) {
      settle(id, null);
      return;
    }
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
        .handler(initializer())
        .connect(endpoint.host(), endpoint.port())
        .addListener(
            (io.netty.channel.ChannelFuture f) -> {
              if (!f.isSuccess()) {
                settle(id, null);
                return;
              }
              Channel channel = f.channel();
              Channel before = channels.put(node, channel);
              if (before != null && before != channel) {
                Channels.close(before);
              }
              Channels.onClose(channel, () -> channels.remove(node, channel));
              write(channel, Frame.request(id, request));
            });
  }

  /** A link that leaves a request unanswered may be cut: the next request opens a new one. */
  private void settle(long id, Response response) {
    Consumer<Response> answer = waiting.remove(id);
    if (answer != null) {
      answer.accept(response);
    }
  }

  /** Drops the link to a node that did not answer. */
  public void reset(String node) {
    loop.execute(
        () -> {
          Channel channel = channels.remove(node);
          if (channel != null) {
            Channels.close(channel);
          }
        });
  }

  private static void write(Channel channel, ByteBuffer frame) {
    Channels.write(channel, Unpooled.wrappedBuffer(frame));
  }

  private final class Frames extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
      Frame frame = Frame.read(in.nioBuffer());
      if (frame.response() != null) {
        settle(frame.id(), frame.response());
      } else {
        handler.handle(
            frame.request(),
            r -> loop.execute(() -> write(ctx.channel(), Frame.response(frame.id(), r))));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("peer link failed: {}", cause.toString());
      Channels.close(ctx);
    }
  }
}
