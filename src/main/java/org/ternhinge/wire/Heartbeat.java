package org.ternhinge.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.OptionalDouble;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Term;

/**
 * A worker's heartbeat: the status of its machine and of all tasks on it.
 *
 * @param machine the machine
 * @param endpoint address for direct commands, as host:port
 * @param type machine type
 * @param zone zone of the machine
 * @param spot whether it is a spot machine
 * @param epoch incarnation of the worker
 * @param sequence number that increases with every message of an epoch. Messages are ordered by
 *     epoch, then by sequence number
 * @param fencingToken highest fencing token that the worker has seen
 * @param reclaimNoticeS seconds until the cloud reclaims the machine; empty if no reclaim is
 *     announced
 * @param tasks all tasks on the machine, including ended ones until a {@link Command.Op#FORGET}
 */
public record Heartbeat(
    MachineId machine,
    String endpoint,
    String type,
    String zone,
    boolean spot,
    AgentEpoch epoch,
    long sequence,
    Term fencingToken,
    OptionalDouble reclaimNoticeS,
    List<TaskStatus> tasks) {

  /**
   * Reads a heartbeat.
   *
   * @throws WireException naming the field that is missing or invalid
   */
  public static Heartbeat read(byte[] body) throws WireException {
    return HeartbeatReader.read(body);
  }

  /** Converts the heartbeat to JSON. */
  public ObjectNode write() {
    ObjectNode out = Json.object();
    out.put("vel", machine.value()).put("endpoint", endpoint).put("velagerd", type);
    out.put("svaedi", zone).put("lanvelar", spot).put("vakt", epoch.value());
    out.put("raodnumer", sequence).put("valdmerki", fencingToken.value());
    reclaimNoticeS.ifPresent(seconds -> out.put("fyrirvari_s", seconds));
    ArrayNode list = out.putArray("verkbitar");
    for (TaskStatus status : tasks) {
      status.write(list.addObject());
    }
    return out;
  }
}
