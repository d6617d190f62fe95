/** Client of the cloud: machine types, provision requests, returns and the machine list. */
package org.ternhinge.cloud;
