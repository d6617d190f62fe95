package org.ternhinge.config;

/** A team's guarantee and limit in thousandths; 0 stands for none. */
public record Team(String name, long cpus, long cpusMax, long gpus, long gpusMax) {}
