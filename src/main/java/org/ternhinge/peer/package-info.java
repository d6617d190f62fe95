/** Framed request and response messages between the controllers. */
package org.ternhinge.peer;
