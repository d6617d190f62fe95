package org.ternhinge.http;

/** A complete response received by a client. */
public final class ClientResponse {
  private final int status;
  private final byte[] body;

  /**
   * Creates a response.
   *
   * @param status HTTP status
   * @param body the body; the array is not copied
   */
  public ClientResponse(int status, byte[] body) {
    this.status = status;
    this.body = body;
  }

  /** The HTTP status. */
  public int status() {
    return status;
  }

  /** The body; the array must not be modified. */
  public byte[] body() {
    return body;
  }
}
