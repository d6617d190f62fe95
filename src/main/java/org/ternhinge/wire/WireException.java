package org.ternhinge.wire;

/** Thrown for a message that violates the protocol. */
public final class WireException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message names the invalid field; returned to users in the response to a malformed
   *     request
   */
  public WireException(String message) {
    super(message);
  }
}
