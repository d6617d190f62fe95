/** A controller: requests of users and workers, and the leadership while this node holds it. */
package org.ternhinge.controller;
