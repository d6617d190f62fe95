package org.ternhinge.config;

/** A setting is missing or invalid; the message names it. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an error whose message names the field at fault. */
  public SettingsException(String message) {
    super(message);
  }
}
