/** Checks of what users submit. */
package org.ternhinge.api;
