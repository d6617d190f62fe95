package org.ternhinge.http;

/**
 * What a server answers.
 *
 * @param retryAfterS when to come back, or 0
 */
public record Response(int status, byte[] body, int retryAfterS) {
  private static final byte[] EMPTY = "{}".getBytes(java.nio.charset.StandardCharsets.US_ASCII);

  public static Response of(int status, byte[] body) {
    return new Response(status, body, 0);
  }

  public static Response of(int status) {
    return new Response(status, EMPTY, 0);
  }

  /** The service can't answer now. */
  public static Response busy(int retryAfterS) {
    return new Response(503, EMPTY, retryAfterS);
  }
}
