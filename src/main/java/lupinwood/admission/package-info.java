/**
 * What stands between the decisions and a machine: times, ids, requests, outcomes, the port {@link
 * lupinwood.admission.ServerActions} through which results leave, and the calls {@link
 * lupinwood.admission.AdmissionPolicy} and {@link lupinwood.admission.RequestListener} by which
 * news comes in. Nothing here decides anything.
 */
package lupinwood.admission;
