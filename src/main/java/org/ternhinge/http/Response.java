package org.ternhinge.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/** A whole response as a server sends it. */
public final class Response {
  private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.US_ASCII);

  private final int status;
  private final byte[] body;
  private final int retryAfterS;

  /**
   * Creates a response.
   *
   * @param status HTTP status
   * @param body bytes of the body, which are not copied
   * @param retryAfterS value of the {@code Retry-After} header in seconds, or 0 for no such header
   */
  public Response(int status, byte[] body, int retryAfterS) {
    this.status = status;
    this.body = body;
    this.retryAfterS = retryAfterS;
  }

  /** A response with a body, which is not copied. */
  public static Response of(int status, byte[] body) {
    return new Response(status, body, 0);
  }

  /** A response whose body is an empty JSON object. */
  public static Response of(int status) {
    return new Response(status, EMPTY_OBJECT, 0);
  }

  /**
   * A response of a server that can't carry out the request at present.
   *
   * @param retryAfterS seconds after which the client may retry
   */
  public static Response busy(int retryAfterS) {
    return new Response(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), EMPTY_OBJECT, retryAfterS);
  }

  /** The HTTP status. */
  public int status() {
    return status;
  }

  /** The bytes of the body, which must not be changed. */
  public byte[] body() {
    return body;
  }

  /** Seconds after which the client may retry, or 0 where the response does not say. */
  public int retryAfterS() {
    return retryAfterS;
  }
}
