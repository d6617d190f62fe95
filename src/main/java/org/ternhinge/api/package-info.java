/** Validation of submitted jobs. */
package org.ternhinge.api;
