/** What the log says of the loss and return of zones, as one HTML file with plots. */
package org.ternhinge.zone.report;
