/** Latency histograms for the log. */
package org.ternhinge.metrics;
