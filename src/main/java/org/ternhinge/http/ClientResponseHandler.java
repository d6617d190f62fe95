package org.ternhinge.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;

/** Completes the pending call of a client connection and returns the connection to the pool. */
final class ClientResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
  private final ConnectionPool pool;

  /** The call that awaits a response; null while the connection is idle. */
  private PendingCall pendingCall;

  /**
   * Creates the handler of one connection.
   *
   * @param pool receives the connection after each response
   */
  ClientResponseHandler(ConnectionPool pool) {
    this.pool = pool;
  }

  /** Sets the call that the next response on this connection belongs to. */
  void expect(PendingCall next) {
    pendingCall = next;
  }

  private PendingCall takePendingCall() {
    PendingCall current = pendingCall;
    pendingCall = null;
    return current;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
    PendingCall call = takePendingCall();
    if (call == null || response.decoderResult().isFailure()) {
      Channels.close(ctx);
      if (call != null) {
        call.complete(Outcome.unknown("malformed HTTP response"));
      }
      return;
    }
    byte[] body = new byte[response.content().readableBytes()];
    response.content().readBytes(body);
    if (HttpUtil.isKeepAlive(response)) {
      pool.release(call.endpoint(), ctx.channel());
    } else {
      Channels.close(ctx);
    }
    call.complete(Outcome.applied(new ClientResponse(response.status().code(), body)));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (pendingCall != null) {
      takePendingCall().complete(Outcome.unknown("connection closed before the response"));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof TooLongFrameException && pendingCall != null && pendingCall.isGet()) {
      // A retry would get the same response, so the caller has to read in pages instead.
      takePendingCall()
          .complete(Outcome.notApplied(Reason.TOO_LARGE, "response exceeds the size limit"));
    }
    Channels.close(ctx);
  }
}
