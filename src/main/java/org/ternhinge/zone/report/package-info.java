/** Creates a report on the loss and recovery of zones from a log, as one HTML file with plots. */
package org.ternhinge.zone.report;
