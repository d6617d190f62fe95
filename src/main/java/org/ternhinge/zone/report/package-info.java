/** A report on the loss and return of zones, from a log, as one HTML file with plots. */
package org.ternhinge.zone.report;
