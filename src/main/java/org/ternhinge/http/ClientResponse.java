package org.ternhinge.http;

/** A whole response as a client receives it. */
public final class ClientResponse {
  private final int status;
  private final byte[] body;

  /**
   * Creates a reply.
   *
   * @param status HTTP status
   * @param body bytes of the body, which are not copied
   */
  public ClientResponse(int status, byte[] body) {
    this.status = status;
    this.body = body;
  }

  /** The HTTP status. */
  public int status() {
    return status;
  }

  /** The bytes of the body, which must not be changed. */
  public byte[] body() {
    return body;
  }
}
