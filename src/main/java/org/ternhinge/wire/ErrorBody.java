package org.ternhinge.wire;

/**
 * The body of a response that rejects a request permanently.
 *
 * @param message description of the error for the sender of the request
 */
public record ErrorBody(String message) {
  /** The body as JSON. */
  public byte[] write() {
    return Json.bytes(Json.object().put("error", message));
  }
}
