package org.ternhinge.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.ternhinge.wire.Json;

/**
 * A transaction: changes that are all applied, with one revision, if all conditions hold, and none
 * of them otherwise.
 *
 * @param conditions revisions that keys must have; none makes the changes unconditional
 * @param changes {@link Change.Put} and {@link Change.Delete} in the order of the message; none
 *     only compares
 */
public record CompareAndSwap(List<KeyCondition> conditions, List<Change> changes) {

  /** The body of the request. */
  public byte[] write() {
    ObjectNode out = Json.object();
    ArrayNode conditionList = out.putArray("if");
    for (KeyCondition condition : conditions) {
      conditionList
          .addObject()
          .put("path", condition.key())
          .put("utgafunumer", condition.expected().value());
    }
    ArrayNode changeList = out.putArray("then");
    for (Change change : changes) {
      write(change, changeList.addObject());
    }
    return Json.bytes(out);
  }

  private static void write(Change change, ObjectNode out) {
    if (change instanceof Change.Put put) {
      out.put("set", put.key()).set("v", put.value());
      if (put.lease() != Change.Put.NO_LEASE) {
        out.put("leiga", put.lease());
      }
    } else {
      out.put("remove", change.key());
    }
  }
}
