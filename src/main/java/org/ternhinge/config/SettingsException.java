package org.ternhinge.config;

/** Thrown if a setting is missing or invalid; the message names the setting. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message names the invalid field. */
  public SettingsException(String message) {
    super(message);
  }
}
