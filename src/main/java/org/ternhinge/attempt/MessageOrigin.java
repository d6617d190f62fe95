package org.ternhinge.attempt;

/** The kind of message that contained a status report. */
public enum MessageOrigin {
  /** A periodic heartbeat, whose response contains commands. */
  HEARTBEAT,
  /** The response to a direct command; says nothing about the delivery of heartbeat responses. */
  COMMAND_RESPONSE
}
