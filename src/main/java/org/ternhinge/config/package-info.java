/**
 * The platform's settings file and the operators' tuning file. Both are read once at startup and
 * immutable afterwards.
 */
package org.ternhinge.config;
