/** Command line, logging and the assembly of a running controller. */
package org.ternhinge.cli;
