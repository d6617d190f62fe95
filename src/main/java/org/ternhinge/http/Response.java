package org.ternhinge.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/** A complete response sent by a server. */
public final class Response {
  private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.US_ASCII);

  private final int status;
  private final byte[] body;
  private final int retryAfterS;

  /**
   * Creates a response.
   *
   * @param status HTTP status
   * @param body the body; the array is not copied
   * @param retryAfterS value of the {@code Retry-After} header in seconds; 0 omits the header
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
   * A 503 response of a server that is temporarily unable to handle the request.
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

  /** The body; the array must not be modified. */
  public byte[] body() {
    return body;
  }

  /** Seconds after which the client may retry; 0 if not specified. */
  public int retryAfterS() {
    return retryAfterS;
  }
}
