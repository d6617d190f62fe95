package org.ternhinge.config;

/** One of the users' aims, as the settings restate it; class and limit may be absent. */
public record Objective(String kind, String jobClass, double withinS) {}
