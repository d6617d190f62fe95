package org.ternhinge.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.ternhinge.wire.Json;

/**
 * An atomic transaction: if all conditions hold, all changes are applied with one revision;
 * otherwise none is.
 *
 * @param conditions revisions that keys must have; an empty list makes the changes unconditional
 * @param changes {@link Change.Put} and {@link Change.Delete} in the order of the message; an empty
 *     list only checks the conditions
 */
public record CompareAndSwap(List<KeyCondition> conditions, List<Change> changes) {

  /** Serializes the transaction as the body of a request. */
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
