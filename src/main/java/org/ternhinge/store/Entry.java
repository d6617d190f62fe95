package org.ternhinge.store;

import com.fasterxml.jackson.databind.JsonNode;
import org.ternhinge.model.Revision;

/** A key with its value and version. */
public record Entry(String key, JsonNode value, Revision revision) {}
