package org.ternhinge.http;

/**
 * A complete HTTP request, sent by a client or received by a server. Immutable by convention:
 * callers must not modify the body.
 */
public final class Request {
  private static final byte[] NO_BODY = new byte[0];

  private final String method;
  private final String path;
  private final byte[] body;

  /**
   * Creates a request.
   *
   * @param method HTTP method, in capitals
   * @param path path, including the query if sent by a client
   * @param body the body, empty if there is none; the array is not copied
   */
  public Request(String method, String path, byte[] body) {
    this.method = method;
    this.path = path;
    this.body = body;
  }

  /** A GET request. */
  public static Request get(String path) {
    return new Request("GET", path, NO_BODY);
  }

  /** A POST request; the body is not copied. */
  public static Request post(String path, byte[] body) {
    return new Request("POST", path, body);
  }

  /** A DELETE request. */
  public static Request delete(String path) {
    return new Request("DELETE", path, NO_BODY);
  }

  /** The HTTP method, in capitals. */
  public String method() {
    return method;
  }

  /** The path; without the query if received by a server. */
  public String path() {
    return path;
  }

  /** The body; the array must not be modified. */
  public byte[] body() {
    return body;
  }
}
