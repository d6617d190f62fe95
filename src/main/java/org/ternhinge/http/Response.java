package org.ternhinge.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/** What a server answers. */
public final class Response {
  private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.US_ASCII);

  private final int status;
  private final byte[] body;
  private final int retryAfterS;

  /**
   * The body is not copied.
   *
   * @param retryAfterS in how many seconds to come back, or 0 where that is not said
   */
  public Response(int status, byte[] body, int retryAfterS) {
    this.status = status;
    this.body = body;
    this.retryAfterS = retryAfterS;
  }

  /** A response with a body. */
  public static Response of(int status, byte[] body) {
    return new Response(status, body, 0);
  }

  /** A response whose body is an empty object. */
  public static Response of(int status) {
    return new Response(status, EMPTY_OBJECT, 0);
  }

  /** The service can't answer now. */
  public static Response busy(int retryAfterS) {
    return new Response(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), EMPTY_OBJECT, retryAfterS);
  }

  /** The HTTP status. */
  public int status() {
    return status;
  }

  /** The body's bytes, not to be changed. */
  public byte[] body() {
    return body;
  }

  /** In how many seconds to come back, or 0 where that is not said. */
  public int retryAfterS() {
    return retryAfterS;
  }
}
