package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Supplier;

/**
 * A write to a key beside the jobs' records, such as the term or the provision requests under way.
 *
 * @param value asked for only when a transaction is built, so that several requests for a key
 *     before that make one change
 * @param onDurable run in their order once the key-value store holds the value
 */
record AuxiliaryWrite(String key, Supplier<JsonNode> value, List<Runnable> onDurable) {}
