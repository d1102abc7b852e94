/** Acceptance of jobs, and questions about them. */
export { Intake, type IntakeRequest } from "./intake.ts";
