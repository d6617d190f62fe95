/** HTTP server and HTTP clients, which share one Netty event loop. */
package org.ternhinge.http;
