package org.ternhinge.http;

/** A whole request, as a client sends it or a server receives it. Immutable by convention. */
public final class Request {
  private static final byte[] NO_BODY = new byte[0];

  private final String method;
  private final String path;
  private final byte[] body;

  /**
   * Creates a request.
   *
   * @param method HTTP method, in capitals
   * @param path path and, at a client, query
   * @param body bytes of the body, which are not copied; none for a request without a body
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

  /** The path; a server has removed the query from it. */
  public String path() {
    return path;
  }

  /** The bytes of the body, which must not be changed. */
  public byte[] body() {
    return body;
  }
}
