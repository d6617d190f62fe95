package org.ternhinge.config;

/**
 * A team's quota, in thousandths of a CPU or an accelerator; 0 means no quota.
 *
 * @param cpus guaranteed CPUs
 * @param cpusMax limit of CPUs
 * @param gpus guaranteed accelerators
 * @param gpusMax limit of accelerators
 */
public record Team(String name, long cpus, long cpusMax, long gpus, long gpusMax) {}
