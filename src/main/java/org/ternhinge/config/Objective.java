package org.ternhinge.config;

import java.util.Optional;

/**
 * A service-level objective of the deployment.
 *
 * @param kind what is measured, such as {@code wait} for the time until the first start
 * @param jobClass the class of jobs that it is about; empty where it is about all
 * @param withinS limit in seconds; 0 where the settings name none
 */
public record Objective(String kind, Optional<String> jobClass, double withinS) {}
