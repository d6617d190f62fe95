package org.ternhinge.config;

import java.util.Optional;

/**
 * A service-level objective of the deployment.
 *
 * @param kind the quantity measured, such as {@code wait} for the time until the first start
 * @param jobClass the job class to which it applies; empty if it applies to all jobs
 * @param withinS limit in seconds; 0 if the settings define none
 */
public record Objective(String kind, Optional<String> jobClass, double withinS) {}
