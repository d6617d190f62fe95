package org.ternhinge.wire;

/**
 * The body of a response with status 421, which redirects a worker to another controller node.
 *
 * @param node name of the node
 */
public record Redirect(String node) {
  /** Serializes the redirect as JSON. */
  public byte[] write() {
    return Json.bytes(Json.object().put("tilkynna_til", node));
  }
}
