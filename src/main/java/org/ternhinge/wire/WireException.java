package org.ternhinge.wire;

/** A message that does not have the form the protocol gives it. */
public final class WireException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an error whose message names the field at fault. */
  public WireException(String message) {
    super(message);
  }
}
