package org.ternhinge.http;

/** A whole response as a client gets it. */
public final class Reply {
  private final int status;
  private final byte[] body;

  /** The body is not copied. */
  public Reply(int status, byte[] body) {
    this.status = status;
    this.body = body;
  }

  /** The HTTP status. */
  public int status() {
    return status;
  }

  /** The body's bytes, not to be changed. */
  public byte[] body() {
    return body;
  }
}
