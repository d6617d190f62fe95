/** Counts and times for the log. */
package org.ternhinge.metrics;
