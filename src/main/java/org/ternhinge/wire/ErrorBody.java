package org.ternhinge.wire;

/**
 * The body of an answer that refuses a request for good.
 *
 * @param message what is wrong with the request, for its sender to read
 */
public record ErrorBody(String message) {
  /** Returns the body as JSON. */
  public byte[] write() {
    return Json.bytes(Json.object().put("error", message));
  }
}
