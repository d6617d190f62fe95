/** HTTP server and client on the event loop. */
package org.ternhinge.http;
