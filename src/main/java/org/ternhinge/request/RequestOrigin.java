package org.ternhinge.request;

/** Who sent a request to this node. */
public enum RequestOrigin {
  /** A user, a worker or a health check; the request may be forwarded to another controller. */
  CLIENT,

  /** Another controller that forwards a request; the request is not forwarded again. */
  PEER
}
