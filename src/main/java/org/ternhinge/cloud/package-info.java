/** Client of the cloud: machine types, rentals, returns and the machine list. */
package org.ternhinge.cloud;
