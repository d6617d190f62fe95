package org.ternhinge.http;

/** A whole request as a server gets it; the path has no query. */
public final class Request {
  private final String method;
  private final String path;
  private final byte[] body;

  /** The body is not copied. */
  public Request(String method, String path, byte[] body) {
    this.method = method;
    this.path = path;
    this.body = body;
  }

  /** The HTTP method, in capitals. */
  public String method() {
    return method;
  }

  /** The path, without a query. */
  public String path() {
    return path;
  }

  /** The body's bytes, not to be changed. */
  public byte[] body() {
    return body;
  }
}
