package org.ternhinge.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.ternhinge.model.Revision;
import org.ternhinge.wire.Json;

/** Changes that happen together if every key has the stated version. */
public record CompareAndSwap(Map<String, Revision> conditions, List<Change> changes) {

  /** The transaction as JSON. */
  public byte[] write() {
    ObjectNode out = Json.object();
    ArrayNode conds = out.putArray("if");
    conditions.forEach(
        (key, rev) -> conds.addObject().put("path", key).put("utgafunumer", rev.value()));
    ArrayNode then = out.putArray("then");
    for (Change change : changes) {
      ObjectNode item = then.addObject();
      if (change instanceof Change.Put put) {
        item.put("set", put.key()).set("v", put.value());
        if (put.lease() != 0) {
          item.put("leiga", put.lease());
        }
      } else {
        item.put("remove", change.key());
      }
    }
    return Json.bytes(out);
  }
}
