package org.ternhinge.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** The 421 answer of a node that may not act for the controllers. */
public record Redirect(String node) {
  /** The redirect as JSON. */
  public byte[] write() {
    ObjectNode out = Json.object();
    if (node != null) {
      out.put("tilkynna_til", node);
    }
    return Json.bytes(out);
  }
}
