/** Latency histograms, which are reported in the log. */
package org.ternhinge.metrics;
