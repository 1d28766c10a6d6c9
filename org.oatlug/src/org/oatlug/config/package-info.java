/** Configuration objects that operators publish, and the settings of an instance. */
package org.oatlug.config;
