package org.ternhinge.attempt;

/** Why a worker has sent its status. */
public enum MessageOrigin {
  /** A periodic heartbeat, whose answer carries commands. */
  HEARTBEAT,
  /** The response to a direct command; it proves nothing about answers to heartbeats. */
  COMMAND_RESPONSE
}
