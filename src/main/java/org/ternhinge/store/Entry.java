package org.ternhinge.store;

import com.fasterxml.jackson.databind.JsonNode;
import org.ternhinge.model.Revision;

/**
 * A key of the store as it was read.
 *
 * @param key the key
 * @param value its value
 * @param revision the revision of its latest change
 */
public record Entry(String key, JsonNode value, Revision revision) {}
