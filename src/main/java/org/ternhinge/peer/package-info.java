/** Framed request/response protocol between controllers. */
package org.ternhinge.peer;
