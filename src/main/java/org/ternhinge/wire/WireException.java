package org.ternhinge.wire;

/** A message that violates the protocol. */
public final class WireException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an error.
   *
   * @param message names the field at fault; users get it as the answer to a malformed request
   */
  public WireException(String message) {
    super(message);
  }
}
