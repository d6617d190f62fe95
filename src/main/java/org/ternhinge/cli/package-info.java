/** Command line, logging setup and the wiring of a controller. */
package org.ternhinge.cli;
